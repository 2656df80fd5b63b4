package capacity

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agent/session"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/frame"
	"github.com/wigeonfork/wigeonfork/generation"
)

// Names of the costs of open answers.
const (
	costRelayToken   = "decode a frame and relay its token"
	costRelayMemory  = "memory of an open answer at the entry"
	costAppendToken  = "append a token and encode its frame"
	costSession      = "memory of a session at the agent"
	costFrameBytes   = "frame of tokens"
	costHeartbeat    = "heartbeat frame"
	costResumeEncode = "encode the call of a resume"
	costResumeBytes  = "call of a resume"
)

var tokenSizes = []int{100, 1_000, 3_000}

func tokenOf(i int) backend.Token { return backend.Token{ID: uint32(i), Text: []byte(" token")} }

// encodedFrames returns the encoded frames of an answer with one token per frame.
func encodedFrames(tokens int) []byte {
	var buf []byte
	for i := range tokens {
		f := frame.Frame{Kind: frame.KindTokens, Generation: 1, Position: wigeonfork.Position(i), Tokens: []backend.Token{tokenOf(i)}}
		buf = frame.Append(buf, &f)
	}
	return buf
}

// newRelay returns a relay that has accepted the encoded frames.
func newRelay(reader *frame.Reader, encoded []byte) (*generation.Relay, error) {
	r := generation.NewRelay(generation.DefaultLimits())
	r.Begin(startTime)
	reader.Reset(bytes.NewReader(encoded))
	var f frame.Frame
	for {
		err := reader.Read(&f)
		if errors.Is(err, io.EOF) {
			return r, nil
		}
		if err != nil {
			return nil, err
		}
		r.Accept(startTime, &f)
	}
}

func generateCall() *agentapi.Generate {
	return &agentapi.Generate{
		RequestID: "01890a5d-ac96-774b-bcce-b302099a8057", Generation: 1, Workspace: workspaceID(0), Class: 1,
		Model: "model-00", Version: "v1", Prompt: "prompt", Seed: 1, MaxTokens: 4096, OrphanMillis: 30_000,
	}
}

func newSession(tokens int, encode bool) *session.Session {
	s := session.New(generateCall(), startTime, func() {})
	reader := s.Attach(make(chan struct{}, 1), func() {})
	var f frame.Frame
	var buf []byte
	for i := range tokens {
		position := wigeonfork.Position(i)
		s.Append(backend.Chunk{Position: position, Tokens: []backend.Token{tokenOf(i)}})
		if encode && s.Next(reader, position, &f) {
			buf = frame.Append(buf[:0], &f)
		}
	}
	return s
}

func measureStreams(c *costs) {
	measureRelay(c)
	measureSession(c)
	measureFrames(c)
	measureResume(c)
}

func measureRelay(c *costs) {
	s := series{role: roleEntry, name: costRelayToken, unit: "us", sizeUnit: "tokens of the answer", designSize: heldTokens()}
	c.add(s, tokenSizes, func(tokens int) (float64, error) {
		encoded := encodedFrames(tokens)
		reader := frame.NewReader(nil)
		var failed error
		micros, err := c.meter.micros(func(n int) {
			for range n {
				if _, err := newRelay(reader, encoded); err != nil {
					failed = err
				}
			}
		})
		if failed != nil {
			return 0, failed
		}
		return micros / float64(tokens), err
	})
	s = series{role: roleEntry, name: costRelayMemory, unit: "bytes", sizeUnit: "tokens held", designSize: heldTokens()}
	c.addCounted(s, tokenSizes, func(tokens int) float64 {
		const answers = 20
		encoded := encodedFrames(tokens)
		reader := frame.NewReader(nil)
		return heapBytes(func() any {
			held := make([]*generation.Relay, answers)
			for i := range held {
				held[i], _ = newRelay(reader, encoded)
			}
			return held
		}) / answers
	})
}

func measureSession(c *costs) {
	s := series{role: roleAgent, name: costAppendToken, unit: "us", sizeUnit: "tokens of the answer", designSize: heldTokens()}
	c.add(s, tokenSizes, func(tokens int) (float64, error) {
		micros, err := c.meter.micros(func(n int) {
			for range n {
				newSession(tokens, true)
			}
		})
		return micros / float64(tokens), err
	})
	s = series{role: roleAgent, name: costSession, unit: "bytes", sizeUnit: "tokens held", designSize: heldTokens()}
	c.addCounted(s, tokenSizes, func(tokens int) float64 {
		const answers = 20
		return heapBytes(func() any {
			held := make([]*session.Session, answers)
			for i := range held {
				held[i] = newSession(tokens, false)
			}
			return held
		}) / answers
	})
}

func measureFrames(c *costs) {
	s := series{role: roleAgent, name: costFrameBytes, unit: "bytes", sizeUnit: "tokens in the frame", designSize: 1}
	c.addCounted(s, []int{1, 8, 64}, func(tokens int) float64 {
		f := frame.Frame{Kind: frame.KindTokens, Generation: 1, Position: 1_000}
		for i := range tokens {
			f.Tokens = append(f.Tokens, tokenOf(1_000+i))
		}
		return float64(len(frame.Append(nil, &f)))
	})
	s = series{role: roleAgent, name: costHeartbeat, unit: "bytes", sizeUnit: "position", designSize: heldTokens()}
	c.addCounted(s, tokenSizes, func(position int) float64 {
		f := frame.Frame{
			Kind: frame.KindHeartbeat, Generation: 1, Position: wigeonfork.Position(position),
			Load: frame.Load{Running: residentsPerEngine, Waiting: residentsPerEngine, Changes: uint32(position)},
		}
		return float64(len(frame.Append(nil, &f)))
	})
}

func resumeCall(tokens int) *agentapi.Generate {
	resumed := generateCall()
	for i := range tokens {
		resumed.Prefix = append(resumed.Prefix, tokenOf(i))
	}
	return resumed
}

func measureResume(c *costs) {
	s := series{role: roleEntry, name: costResumeEncode, unit: "us", sizeUnit: "tokens held", designSize: heldTokens()}
	c.add(s, tokenSizes, func(tokens int) (float64, error) {
		resumed := resumeCall(tokens)
		var failed error
		micros, err := c.meter.micros(func(n int) {
			for range n {
				if _, err := json.Marshal(resumed); err != nil {
					failed = err
				}
			}
		})
		if failed != nil {
			return 0, failed
		}
		return micros, err
	})
	s = series{role: roleEntry, name: costResumeBytes, unit: "bytes", sizeUnit: "tokens held", designSize: heldTokens()}
	c.add(s, tokenSizes, func(tokens int) (float64, error) {
		data, err := json.Marshal(resumeCall(tokens))
		return float64(len(data)), err
	})
}

// loadReportsPerSecond is the maximum rate of load reports in the frames of a
// stream. Heartbeats are left out: only the few streams without output send them.
const loadReportsPerSecond = float64(time.Second) / float64(agentapi.LoadInterval)

// loadBytes returns the bytes that a load report adds to a frame.
func loadBytes() float64 {
	bare := frame.Frame{Kind: frame.KindTokens, Generation: 1}
	withLoad := bare
	withLoad.Load = frame.Load{Running: 200, Waiting: 20, Changes: 200}
	return float64(len(frame.Append(nil, &withLoad)) - len(frame.Append(nil, &bare)))
}
