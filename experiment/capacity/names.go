package capacity

import (
	"fmt"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
)

func serverID(i int) wigeonfork.BackendServerID {
	return wigeonfork.BackendServerID(fmt.Sprintf("server-%05d", i))
}

func hostID(i int) wigeonfork.HostID { return wigeonfork.HostID(fmt.Sprintf("host-%05d", i)) }

func domainOf(i int) wigeonfork.FailureDomain {
	return wigeonfork.FailureDomain(fmt.Sprintf("domain-%02d", i%designDomains))
}

func workspaceID(i int) wigeonfork.Workspace {
	return wigeonfork.Workspace(fmt.Sprintf("workspace-%04d", i))
}

func modelOf(i int) wigeonfork.Model {
	return wigeonfork.Model(fmt.Sprintf("model-%02d", i%designModels))
}

// hosts returns a list of n agents.
func hosts(n int) []infra.Host {
	list := make([]infra.Host, n)
	for i := range list {
		list[i] = infra.Host{
			ID: hostID(i), Role: infra.RoleAgent, State: infra.HostLive, Region: "region-1", Domain: domainOf(i),
			ServeAddress:   fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
			ControlAddress: fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250),
			BackendServer:  serverID(i),
		}
	}
	return list
}
