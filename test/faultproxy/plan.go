package faultproxy

import "time"

// cutProgress counts the bytes of one direction of one link that count towards the cut.
type cutProgress struct {
	cutID       int
	passedBytes int64
}

// writePlan is the data to forward for one chunk, and the cut to apply after it.
type writePlan struct {
	data []byte
	cut  *Cut
}

func (p *Proxy) delay(d Direction) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.states[d].delay
}

// plan applies the duplication and the cut to a chunk and counts it.
func (p *Proxy) plan(d Direction, m *cutProgress, data []byte) writePlan {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.states[d]
	if state.duplicate > 0 {
		state.duplicate--
		p.counters.Duplicated++
		data = append(data[:len(data):len(data)], data...)
	}
	plan := writePlan{data: data}
	if p.cut != nil && p.cut.Direction&d != 0 {
		plan = p.applyCut(m, data)
	}
	state.bytes += int64(len(plan.data))
	return plan
}

// applyCut truncates data at the cut. p.mu is held.
func (p *Proxy) applyCut(m *cutProgress, data []byte) writePlan {
	if m.cutID != p.cutID {
		*m = cutProgress{cutID: p.cutID}
	}
	left := p.cut.AfterBytes - m.passedBytes
	if int64(len(data)) < left {
		m.passedBytes += int64(len(data))
		return writePlan{data: data}
	}
	plan := writePlan{data: data[:max(left, 0)], cut: p.cut}
	p.counters.Cuts++
	if !p.cut.EveryConnection {
		p.cut = nil
	}
	return plan
}
