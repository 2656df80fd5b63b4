package entry

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/wigeonfork/wigeonfork/platform"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/template"
)

// RowConfiguration is the row that holds the whole configuration.
const RowConfiguration = "configuration"

const configurationInterval = 250 * time.Millisecond

// configuration holds the snapshot in force. Its revision only grows.
type configuration struct {
	table    platform.Table
	log      *telemetry.Logger
	install  func(*template.Snapshot)
	snapshot atomic.Pointer[template.Snapshot]
}

func newConfiguration(table platform.Table, log *telemetry.Logger, install func(*template.Snapshot)) *configuration {
	return &configuration{table: table, log: log, install: install}
}

// Snapshot returns the snapshot in force or nil.
func (c *configuration) Snapshot() *template.Snapshot { return c.snapshot.Load() }

func (c *configuration) run(ctx context.Context) {
	ticker := time.NewTicker(configurationInterval)
	defer ticker.Stop()
	for {
		c.read(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *configuration) read(ctx context.Context) {
	row, err := c.table.Get(ctx, RowConfiguration)
	if err != nil || row.Revision == 0 {
		return
	}
	var config template.Config
	if err := json.Unmarshal(row.Value, &config); err != nil {
		c.log.Error().Err(err).Msg("configuration_malformed")
		return
	}
	present := c.snapshot.Load()
	if present != nil && config.Revision <= present.Revision() {
		return
	}
	next := template.NewSnapshot(config, nil)
	c.snapshot.Store(next)
	c.install(next)
	c.log.Info().Uint64("revision", uint64(config.Revision)).Msg("configuration_installed")
}
