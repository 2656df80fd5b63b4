package httpinfra

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/wigeonfork/wigeonfork/infra"
)

// Table is an HTTP client of the table service. It implements infra.Table.
type Table struct{ *client }

var _ infra.Table = (*Table)(nil)

// NewTable returns a Table. It connects on the first call.
func NewTable(options Options) *Table { return &Table{newClient(options)} }

// Get implements infra.Table.
func (t *Table) Get(ctx context.Context, key string) (infra.Row, error) {
	var row infra.Row
	path := PathRows + "?" + url.Values{"key": {key}}.Encode()
	err := t.query(ctx, call{operation: "table get", method: http.MethodGet, path: path}, &row)
	return row, err
}

// Scan implements infra.Table.
func (t *Table) Scan(ctx context.Context, query infra.ScanQuery) (infra.Page, error) {
	values := url.Values{
		"prefix": {query.Prefix},
		"since":  {strconv.FormatUint(uint64(query.Since), 10)},
		"from":   {query.From},
		"limit":  {strconv.Itoa(query.Limit)},
	}
	var page infra.Page
	path := PathScan + "?" + values.Encode()
	err := t.query(ctx, call{operation: "table scan", method: http.MethodGet, path: path}, &page)
	return page, err
}

// Commit implements infra.Table.
func (t *Table) Commit(ctx context.Context, tx infra.Transaction) (infra.Commit, error) {
	r := call{operation: "table commit", method: http.MethodPost, path: PathCommit}
	body, err := json.Marshal(tx)
	if err != nil {
		return infra.Commit{}, t.newError(infra.OutcomeNotDone, r, err)
	}
	r.body = body
	var commit infra.Commit
	err = t.query(ctx, r, &commit)
	return commit, err
}
