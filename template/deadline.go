package template

import (
	"fmt"
	"slices"
	"time"
)

// load is what one move has to read from the weight store.
type load struct {
	deployment DeploymentName
	deadline   time.Time
	reading    time.Duration
	fresh      bool
}

// checkDeadlines refuses a new or changed deadline that the weight store's
// rate cannot meet beside the moves that are under way. Loads are planned
// earliest deadline first, which meets all deadlines whenever any order does.
func checkDeadlines(f *findings, current, next *Config, checks ValidationInput) {
	loads := collectLoads(f, current, next, checks)
	for i := range loads {
		if !loads[i].fresh {
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

func collectLoads(f *findings, current, next *Config, checks ValidationInput) []load {
	var loads []load
	for i := range next.Deployments {
		d := &next.Deployments[i]
		if d.Move == nil || (d.Move.State != MovePlanned && d.Move.State != MoveCanary) {
			continue
		}
		fresh := freshDeadline(current.Deployment(d.Name), d)
		info, known := checks.weightsOf(d.Model, d.Move.To)
		if !known || info.RateBytesPerSecond <= 0 {
			if fresh {
				f.add("deployments."+string(d.Name)+".move.to", "the weight store does not describe this version")
			}
			continue
		}
		bytes := float64(info.SizeBytes) * float64(len(d.BackendServers))
		seconds := bytes / float64(info.RateBytesPerSecond)
		loads = append(loads, load{
			deployment: d.Name,
			deadline:   d.Move.Deadline,
			reading:    time.Duration(seconds * float64(time.Second)),
			fresh:      fresh,
		})
	}
	return loads
}

func freshDeadline(old, d *Deployment) bool {
	if old == nil || old.Move == nil || old.Move.State.Final() {
		return true
	}
	return !old.Move.Deadline.Equal(d.Move.Deadline)
}

// earliestDeadline returns the earliest deadline at which loads[i] fits
// between the others without making one of them late.
func earliestDeadline(loads []load, i int, checks ValidationInput) time.Time {
	others := slices.Delete(slices.Clone(loads), i, i+1)
	slices.SortFunc(others, func(a, b load) int { return a.deadline.Compare(b.deadline) })
	latestStart := len(others)
	for latestStart > 0 && fitsBefore(others, latestStart-1, loads[i].reading, checks) {
		latestStart--
	}
	finish := checks.Now.Add(checks.Settle + loads[i].reading)
	for _, other := range others[:latestStart] {
		finish = finish.Add(other.reading)
	}
	return finish
}

// fitsBefore tells whether others[from:] stay in time, or are no later than
// they are anyway, if a further load is read before them.
func fitsBefore(others []load, from int, reading time.Duration, checks ValidationInput) bool {
	finish := checks.Now.Add(checks.Settle)
	for i, other := range others {
		finish = finish.Add(other.reading)
		if i < from {
			continue
		}
		late := finish.After(other.deadline)
		if !late && finish.Add(reading).After(other.deadline) {
			return false
		}
	}
	return true
}
