package hostile

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// listenerSize is a number of clients and the limits of the process.
type listenerSize struct {
	clients int
	limits  limits
}

// smallListenerSize shows the faults with few clients.
var smallListenerSize = listenerSize{smallSize.callers, limits{memoryMB: smallSize.memoryMB, descriptors: maxDescriptors}}

// listenerSizes returns the sizes to run. Those of -args -full are of the operators' machines.
func listenerSizes() []listenerSize {
	if !*full {
		return []listenerSize{smallListenerSize}
	}
	return []listenerSize{{300, limits{120, 2870}}, {1000, limits{134, 4100}}, {1000, limits{536, 8192}}}
}

// TestListenersOutliveCrowds guards against a process that ends for its memory, uses up its descriptors or answers nobody any
// more, since the clients of any one of its listeners keep to no limits.
func TestListenersOutliveCrowds(t *testing.T) {
	for _, size := range listenerSizes() {
		t.Run(fmt.Sprintf("%d clients, %d MB", size.clients, size.limits.memoryMB), func(t *testing.T) { runListeners(t, size) })
	}
}

func runListeners(t *testing.T, size listenerSize) {
	gateway, daemons := build(t), buildDaemons(t)
	programs := []struct {
		name  string
		start func(*testing.T) (*subject, []listener)
	}{
		{"gateway", func(t *testing.T) (*subject, []listener) {
			g := startGateway(t, gateway, startDeployment(t).StoreAddress(), size.limits)
			return &g.subject, g.listeners()
		}},
		{"entry", func(t *testing.T) (*subject, []listener) {
			s := startDaemons(t, daemons, size.limits)
			return subjectOf(s, s.Entries[0].Process), entryListeners(s)
		}},
		{"agent", func(t *testing.T) (*subject, []listener) {
			s := startDaemons(t, daemons, size.limits)
			return subjectOf(s, s.Agents[0].Process), agentListeners(s)
		}},
	}
	for _, p := range programs {
		t.Run(p.name+"/all listeners at once", func(t *testing.T) {
			s, listeners := p.start(t)
			crowds := make([]mode, len(listeners))
			for index, name := range listenerNames[p.name] {
				crowds[index] = modesOf(name)[len(modesOf(name))-1]
			}
			size.checkListeners(t, s, listeners, crowds)
		})
		for index, name := range listenerNames[p.name] {
			for _, m := range modesOf(name) {
				t.Run(p.name+"/"+name+"/"+m.name, func(t *testing.T) {
					s, listeners := p.start(t)
					size.checkListeners(t, s, listeners[index:index+1], []mode{m})
				})
			}
		}
	}
}

// listenerNames are the listeners of each program, in the order in which they are returned.
var listenerNames = map[string][]string{
	"gateway": {"callers", "balancer", "metrics"},
	"entry":   {"callers", "control", "metrics"},
	"agent":   {"entries", "control", "metrics"},
}

func modesOf(listener string) []mode {
	all := slices.Concat(modes, listenerModes)
	if listener == "control" {
		all = messageModes
	}
	return append(slices.Clone(all), mix(all))
}

// checkListeners lets a crowd loose on each of the listeners of a process, with the mode of the same index.
func (size listenerSize) checkListeners(t *testing.T, s *subject, listeners []listener, crowds []mode) {
	var arrived, done sync.WaitGroup
	arrived.Add(len(listeners))
	left := make(chan struct{})
	for i, l := range listeners {
		c := &crowd{callers: size.clients, address: l.address, upload: l.upload, mode: crowds[i], arrived: func(*testing.T) {
			arrived.Done()
			<-left
		}}
		done.Go(func() { c.run(t) })
	}
	arrived.Wait()
	requireAnswers(t, s, listeners, "while the clients are there")
	// The listeners have answered, so that they have accepted the connections before.
	beside := s.requireAlive(t)
	close(left)
	done.Wait()
	requireAnswers(t, s, listeners, "afterwards")
	s.requirePeak(t, size.limits.memoryMB, beside)
	if beside > size.limits.descriptors {
		t.Errorf("%d descriptors, %d allowed", beside, size.limits.descriptors)
	}
	s.awaitDescriptors(t, ownDescriptors)
}

// requireAnswers fails the test unless an ordinary caller and an ordinary client of each listener are answered.
func requireAnswers(t *testing.T, s *subject, listeners []listener, when string) {
	requireAnswer(t, s, when)
	for _, l := range listeners {
		if err := l.ordinary(); err != nil {
			t.Errorf("the listener for %s doesn't answer an ordinary request %s: %v", l.name, when, err)
		}
	}
}

const (
	// floodDatagrams is the number of datagrams that each sender sends.
	floodDatagrams = 2000
	// datagramPause is the time between two bursts of datagramBurst datagrams.
	datagramPause = time.Millisecond
	datagramBurst = 50
)

// TestGatewayOutlivesDatagramsOfStrangers guards against a gateway that datagrams from elsewhere than its peers end or stop.
func TestGatewayOutlivesDatagramsOfStrangers(t *testing.T) {
	binary := build(t)
	for name, size := range map[string]int{"small": 100, "of a packet": 1400, "large": 60_000} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, binary, startDeployment(t).StoreAddress(), smallListenerSize.limits)
			flood(t, g.peers, size)
			beside := g.requireAlive(t)
			requireAnswer(t, &g.subject, "afterwards")
			g.requirePeak(t, smallListenerSize.limits.memoryMB, beside)
			if beside > ownDescriptors {
				t.Errorf("%d descriptors", beside)
			}
		})
	}
}

// flood sends datagrams of size bytes that all differ.
func flood(t *testing.T, address string, size int) {
	conn, err := net.Dial("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	datagram := make([]byte, size)
	for n := range floodDatagrams {
		for i := range 16 {
			datagram[i] = byte(n >> (i % 3 * 8))
		}
		// The socket refuses what finds no room.
		_, _ = conn.Write(datagram)
		if n%datagramBurst == 0 {
			time.Sleep(datagramPause)
		}
	}
}
