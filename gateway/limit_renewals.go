package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/serverlimit"
)

const (
	// limitCoordinators is the number of entries that may grant the requests to a service's servers, one after
	// another.
	limitCoordinators = 4
	// agreementPeriod is the time for which the entries send renewals after one has appeared, so that it gets a share
	// of the limits.
	agreementPeriod = 10 * time.Second
	// limitGroupPeriod is the time after the last limited server of a service was met for which the entries still
	// delegate their shares.
	limitGroupPeriod = 30 * time.Second
	// removalInterval is the time between two removals of silent entries, and maxRemovals the most that are removed
	// at once. The store bounds the rows of a write.
	removalInterval = 5 * time.Second
	maxRemovals     = 25
	// noService stands for a service in renewals that entries send only to agree on who they are.
	noService loadshare.ServiceHash = 0
)

// dueRenewal is a renewal that is due.
type dueRenewal struct {
	coordinator serverlimit.Entry
	service     loadshare.ServiceHash
	serverlimit.Renewal
}

// heard records a message of a peer.
func (l *serverLimits) heard(peer netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members.Heard(bootTime(), entryOf(peer))
}

// registered records the registered entries. member is set if this one had a share of the limits before.
func (l *serverLimits) registered(peers []netip.AddrPort, member bool) {
	entries := make([]serverlimit.Entry, len(peers))
	for i := range peers {
		entries[i] = entryOf(peers[i])
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members.Registered(bootTime(), entries, member)
}

// hasShare reports whether this entry has a share of the limits.
func (l *serverLimits) hasShare() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members.IsMember()
}

// tick sends the renewals that are due, and drops entries that are gone.
func (l *serverLimits) tick() {
	if l.g.gossip == nil {
		return
	}
	l.followLimits(bootTime())
	renewals, becameMember := l.renewals(bootTime())
	for i := range renewals {
		r := &renewals[i]
		address, err := netip.ParseAddrPort(string(r.coordinator))
		if err != nil {
			continue
		}
		renewal := &loadshare.LimitRenewal{Stamp: r.Stamp, Member: r.Member, Unconfirmed: r.Unconfirmed, Sum: r.Sum, Live: r.Live}
		l.g.gossip.sendLimitUpdate([]netip.AddrPort{address}, &loadshare.LimitUpdate{Service: r.service, Renewal: renewal})
	}
	if becameMember {
		l.becameMember()
	}
	l.removeSilent(bootTime())
}

// removeSilent removes the registrations of the entries that fell silent and may be dropped, which entries that start
// would count, and then drops them.
func (l *serverLimits) removeSilent(now time.Time) {
	coordinator, entries := l.mayDrop(now)
	if len(entries) == 0 {
		return
	}
	var addresses []netip.AddrPort
	for _, e := range entries {
		if address, err := netip.ParseAddrPort(string(e)); err == nil {
			addresses = append(addresses, address)
		}
	}
	l.g.wait.Go(func() {
		err := l.g.callStore(func(ctx context.Context) error { return l.g.options.Registry.Remove(ctx, addresses) })
		if err != nil {
			l.g.options.Log.Warn().Err(err).Msg("silent_entries_kept")
			return
		}
		l.mu.Lock()
		coordinator.Dropped(bootTime(), entries)
		l.mu.Unlock()
		l.g.options.Log.Info().Int("entries", len(entries)).Msg("silent_entries_removed")
	})
}

// mayDrop returns some entries that may be dropped and the coordinator that decides so, once each RenewalInterval.
func (l *serverLimits) mayDrop(now time.Time) (*serverlimit.Coordinator, []serverlimit.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.removeAgainAt) {
		return nil, nil
	}
	l.removeAgainAt = now.Add(serverlimit.RenewalInterval)
	for _, group := range l.groups {
		if entries := group.coordinator.MayDrop(now); len(entries) > 0 {
			l.removeAgainAt = now.Add(removalInterval)
			return group.coordinator, entries[:min(len(entries), maxRemovals)]
		}
	}
	return nil, nil
}

// followLimits lets this entry delegate its shares of all limits in force, also if it has no request for their servers.
func (l *serverLimits) followLimits(now time.Time) {
	for _, id := range l.limitsToFollow(now) {
		service, known := l.g.fleet.serviceOf(id)
		if !known {
			continue
		}
		l.mu.Lock()
		l.services[id] = service
		l.group(now, loadshare.HashService(service)).usedAt = now
		l.mu.Unlock()
	}
}

// limitsToFollow returns the servers with limits in force, once each RenewalInterval.
func (l *serverLimits) limitsToFollow(now time.Time) []serverID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.followedAt) < serverlimit.RenewalInterval {
		return nil
	}
	l.followedAt = now
	var list []serverID
	for _, limit := range l.table.Limits(now) {
		list = append(list, limit.Server)
	}
	return list
}

// renewals returns the renewals that are due, and whether this entry has got a share.
func (l *serverLimits) renewals(now time.Time) (due []dueRenewal, becameMember bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	agreeing := now.Before(l.agreeUntil) || !l.members.IsMember()
	if agreeing {
		l.group(now, noService).usedAt = now
	}
	for service, group := range l.groups {
		if now.Sub(group.usedAt) > limitGroupPeriod || service == noService && !agreeing {
			continue
		}
		coordinator := l.coordinatorOf(now, service, group)
		if renewal, ok := group.delegator.Next(now); ok {
			due = append(due, dueRenewal{coordinator: coordinator, service: service, Renewal: renewal})
		}
		if group.coordinator.CheckAgreement(now) {
			becameMember = true
		}
	}
	return due, becameMember
}

// coordinatorOf returns the entry that grants this entry's requests to the servers of a service.
func (l *serverLimits) coordinatorOf(now time.Time, service loadshare.ServiceHash, group *limitGroup) serverlimit.Entry {
	if l.g.gossip == nil {
		return group.delegator.Coordinator(now, []serverlimit.Entry{""})
	}
	addresses := l.g.gossip.owners(time.Now(), uint64(service), limitCoordinators)
	owners := make([]serverlimit.Entry, len(addresses))
	for i := range addresses {
		owners[i] = entryOf(addresses[i])
	}
	return group.delegator.Coordinator(now, owners)
}

// handleRenewal answers the renewal of a peer. The answer tells of the limits in force.
func (l *serverLimits) handleRenewal(now time.Time, sender netip.AddrPort, u *loadshare.LimitUpdate) {
	reports := l.reports(now)
	renewal := serverlimit.Renewal{Stamp: u.Renewal.Stamp, Member: u.Renewal.Member, Unconfirmed: u.Renewal.Unconfirmed, Sum: u.Renewal.Sum, Live: u.Renewal.Live}
	l.mu.Lock()
	a := l.group(now, u.Service).coordinator.Renew(now, entryOf(sender), renewal)
	l.mu.Unlock()
	answer := &loadshare.LimitRenewalAnswer{Stamp: a.Stamp, New: a.New, Agreed: a.Agreed, Sum: a.Sum, Drop: a.Drop, Live: a.Live}
	l.g.gossip.sendLimitUpdate([]netip.AddrPort{sender}, &loadshare.LimitUpdate{Service: u.Service, Answer: answer, Reports: reports})
}

// handleAnswer applies a coordinator's answer to a renewal.
func (l *serverLimits) handleAnswer(now time.Time, sender netip.AddrPort, u *loadshare.LimitUpdate) {
	a := u.Answer
	answer := serverlimit.RenewalAnswer{Stamp: a.Stamp, New: a.New, Agreed: a.Agreed, Sum: a.Sum, Drop: a.Drop, Live: a.Live}
	l.mu.Lock()
	becameMember := l.group(now, u.Service).delegator.Answered(now, entryOf(sender), answer)
	l.mu.Unlock()
	if becameMember {
		l.becameMember()
	}
	if answer.New {
		// The others have dropped this entry, and its registration with it.
		l.g.gossip.registerAnew()
	}
}

// becameMember keeps in the store that this entry has a share of the limits, so that it has one at once when it starts
// again.
func (l *serverLimits) becameMember() {
	l.g.options.Log.Info().Msg("limit_share_received")
	l.g.wait.Go(l.saveMembership)
}

// saveMembershipAgain saves the membership once more, since the store may have lost it.
func (l *serverLimits) saveMembershipAgain() {
	l.mu.Lock()
	member := l.members.IsMember()
	l.mu.Unlock()
	if member {
		l.saveMembership()
	}
}

// saveMembership saves the membership until the store has it, or the gateway ends.
func (l *serverLimits) saveMembership() {
	store := l.g.newDependency("limit_membership")
	for {
		err := l.g.callStore(func(ctx context.Context) error {
			return l.g.options.Registry.AddMember(ctx, l.g.options.Host, l.g.gossip.self())
		})
		if err == nil {
			store.recordSuccess(time.Now())
			return
		}
		if !l.g.pause(store.recordFailure(time.Now(), err)) {
			return
		}
	}
}
