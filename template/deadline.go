package template

import (
	"fmt"
	"slices"
	"time"
)

// weightLoad is the loading of a move's new version from the weight store by the
// backend servers of a deployment.
type weightLoad struct {
	deployment      DeploymentName
	deadline        time.Time
	readTime        time.Duration
	deadlineChanged bool
}

// checkDeadlines refuses a new or changed deadline that cannot be met at the
// weight store's rate together with the other moves in progress. Loads are
// scheduled earliest deadline first. That order meets all deadlines if any order
// does.
func checkDeadlines(f *fieldErrors, current, next *Config, checks ValidationInput) {
	loads := collectLoads(f, current, next, checks)
	for i := range loads {
		if !loads[i].deadlineChanged {
			continue
		}
		earliest := earliestDeadline(loads, i, checks)
		if !loads[i].deadline.Before(earliest) {
			continue
		}
		f.fields = append(f.fields, FieldError{
			Field:    "deployments." + string(loads[i].deployment) + ".move.deadline",
			Reason:   fmt.Sprintf("cannot be met at the rate of the weight store; the earliest is %s", earliest.UTC().Format(time.RFC3339)),
			Earliest: &earliest,
		})
	}
}

func collectLoads(f *fieldErrors, current, next *Config, checks ValidationInput) []weightLoad {
	var loads []weightLoad
	for i := range next.Deployments {
		d := &next.Deployments[i]
		if d.Move == nil || (d.Move.State != MovePlanned && d.Move.State != MoveCanary) {
			continue
		}
		changed := deadlineChanged(current.Deployment(d.Name), d)
		info, known := checks.weightInfo(d.Model, d.Move.To)
		if !known || info.RateBytesPerSecond <= 0 {
			if changed {
				f.add("deployments."+string(d.Name)+".move.to", "the weight store does not describe this version")
			}
			continue
		}
		bytes := float64(info.SizeBytes) * float64(len(d.BackendServers))
		seconds := bytes / float64(info.RateBytesPerSecond)
		loads = append(loads, weightLoad{
			deployment:      d.Name,
			deadline:        d.Move.Deadline,
			readTime:        time.Duration(seconds * float64(time.Second)),
			deadlineChanged: changed,
		})
	}
	return loads
}

func deadlineChanged(old, d *Deployment) bool {
	if old == nil || old.Move == nil || old.Move.State.Final() {
		return true
	}
	return !old.Move.Deadline.Equal(d.Move.Deadline)
}

// earliestDeadline returns the earliest deadline that loads[i] can meet without
// making another load miss its deadline.
func earliestDeadline(loads []weightLoad, i int, checks ValidationInput) time.Time {
	others := slices.Delete(slices.Clone(loads), i, i+1)
	slices.SortFunc(others, func(a, b weightLoad) int { return a.deadline.Compare(b.deadline) })
	position := len(others)
	for position > 0 && canInsertAt(others, position-1, loads[i].readTime, checks) {
		position--
	}
	finish := checks.Now.Add(checks.Settle + loads[i].readTime)
	for _, other := range others[:position] {
		finish = finish.Add(other.readTime)
	}
	return finish
}

// canInsertAt reports whether a load of readTime can be inserted before
// others[from] without making one of others[from:] miss its deadline. Loads that
// miss their deadline anyway are ignored.
func canInsertAt(others []weightLoad, from int, readTime time.Duration, checks ValidationInput) bool {
	finish := checks.Now.Add(checks.Settle)
	for i, other := range others {
		finish = finish.Add(other.readTime)
		if i < from {
			continue
		}
		alreadyLate := finish.After(other.deadline)
		if !alreadyLate && finish.Add(readTime).After(other.deadline) {
			return false
		}
	}
	return true
}
