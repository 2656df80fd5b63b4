package store

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/template"
)

// Request is a request for a change. Base is the revision that the author has
// seen. The request is refused if a template or deployment that Change puts or
// deletes was changed after Base. Base 0 disables this check. Conditions must also
// hold when the change is committed. A condition on a lease row limits changes to
// the holder of the lease. Now, Weights and Settle are used for validation, see
// template.ValidationInput. If the outcome is unknown, the request can be sent
// again with the same OperationID and with Resent set.
type Request struct {
	OperationID string
	Resent      bool
	Author      string
	Base        wigeonfork.Revision
	Change      template.Change
	Conditions  []infra.Condition
	Now         time.Time
	Weights     []infra.WeightInfo
	Settle      time.Duration
}

// AcceptResult holds the revision at which a change was accepted. Repeated is set
// if an earlier attempt of the same operation was accepted.
type AcceptResult struct {
	Revision wigeonfork.Revision `json:"revision"`
	Repeated bool                `json:"repeated"`
}

func (r *Request) digest() (uint64, error) {
	data, err := json.Marshal(r.Change)
	if err != nil {
		return 0, errors.Wrap(err, "encode change")
	}
	return xxhash.Sum64(data), nil
}

// object is a payload that must be in the object store before the transaction is committed.
type object struct {
	name string
	data []byte
}

// plan holds the objects and the transaction of a change.
type plan struct {
	entry       LogEntry
	objects     []object
	transaction infra.Transaction
}

// findAccepted reports whether request was accepted before. It fails if a
// different change was accepted under the same operation ID.
func findAccepted(v *view, request *Request) (AcceptResult, bool, error) {
	previous, found := v.findOperation(request.OperationID)
	if !found {
		return AcceptResult{}, false, nil
	}
	digest, err := request.digest()
	if err != nil {
		return AcceptResult{}, false, err
	}
	if previous.Digest != digest {
		return AcceptResult{}, false, problem.New(problem.CodeKeyReused, problem.RunNot, problem.StepConfig,
			"operation %s was another change, accepted at revision %d", request.OperationID, previous.Revision)
	}
	return AcceptResult{Revision: previous.Revision, Repeated: true}, true, nil
}

// newPlan validates request against the state v and returns the plan. head is
// the table's revision of the row config/head in that state.
func newPlan(v *view, head infra.Revision, request *Request) (plan, error) {
	current, err := v.config()
	if err != nil {
		return plan{}, err
	}
	checks := template.ValidationInput{Now: request.Now, Weights: request.Weights, Settle: request.Settle}
	if err := template.Validate(current, request.Change, checks); err != nil {
		return plan{}, err
	}
	next := current.Apply(request.Change)
	items, err := template.Changes(&current, &next, request.Change)
	if err != nil {
		return plan{}, err
	}
	digest, err := request.digest()
	if err != nil {
		return plan{}, err
	}
	p := plan{entry: LogEntry{
		Revision:    next.Revision,
		OperationID: request.OperationID,
		Digest:      digest,
		Author:      request.Author,
		At:          request.Now,
		Summary:     summarize(&request.Change),
		Items:       items,
	}}
	return p, p.buildTransaction(&next, head, request)
}

func summarize(change *template.Change) []string {
	var list []string
	for i := range change.PutTemplates {
		list = append(list, "put template "+string(change.PutTemplates[i].Name))
	}
	for _, name := range change.DeleteTemplates {
		list = append(list, "delete template "+string(name))
	}
	for i := range change.PutDeployments {
		list = append(list, "put deployment "+string(change.PutDeployments[i].Name))
	}
	for _, name := range change.DeleteDeployments {
		list = append(list, "delete deployment "+string(name))
	}
	return list
}

// buildTransaction builds the transaction. Its operation ID contains the
// revision, so that the result of an attempt that lost a race is not returned
// for a later attempt.
func (p *plan) buildTransaction(next *template.Config, head infra.Revision, request *Request) error {
	tx := &p.transaction
	tx.OperationID = fmt.Sprintf("config/%s/%d", request.OperationID, next.Revision)
	tx.Conditions = append([]infra.Condition{{Key: headKey, Revision: head}}, request.Conditions...)
	if err := p.addDocuments(next, &request.Change); err != nil {
		return err
	}
	if err := p.addLogEntry(); err != nil {
		return err
	}
	return p.addWrite(headKey, headRow{next.Revision, request.OperationID, request.Author})
}

func (p *plan) addDocuments(next *template.Config, change *template.Change) error {
	for _, name := range change.DeleteTemplates {
		p.addDelete(templateKey(name))
	}
	for i := range change.PutTemplates {
		name := change.PutTemplates[i].Name
		if err := p.addDocument(templateKey(name), next.Template(name)); err != nil {
			return err
		}
	}
	for _, name := range change.DeleteDeployments {
		p.addDelete(deploymentKey(name))
	}
	for i := range change.PutDeployments {
		name := change.PutDeployments[i].Name
		if err := p.addDocument(deploymentKey(name), next.Deployment(name)); err != nil {
			return err
		}
	}
	return nil
}

func (p *plan) addDelete(key string) {
	p.transaction.Writes = append(p.transaction.Writes, infra.Write{Key: key, Delete: true})
}

func (p *plan) addWrite(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode %s", key)
	}
	p.transaction.Writes = append(p.transaction.Writes, infra.Write{Key: key, Value: data})
	return nil
}

func (p *plan) addDocument(key string, document any) error {
	data, err := json.Marshal(document)
	if err != nil {
		return errors.Wrapf(err, "encode %s", key)
	}
	row := documentRow{Revision: p.entry.Revision, Body: data}
	if len(data) > maxInlineBytes {
		row.Body = nil
		row.Object = p.addObject(key, data)
	}
	return p.addWrite(key, row)
}

func (p *plan) addLogEntry() error {
	data, err := json.Marshal(p.entry.Items)
	if err != nil {
		return errors.Wrap(err, "encode items")
	}
	row := p.entry
	if len(data) > maxInlineBytes {
		row.Items = nil
		row.Object = p.addObject("items", data)
	}
	return p.addWrite(logKey(p.entry.Revision), row)
}

// addObject adds an object to the plan and returns its name. The name contains
// the operation ID and the revision, so that an attempt never overwrites an
// object of another attempt.
func (p *plan) addObject(part string, data []byte) string {
	name := fmt.Sprintf("%s%s/%d/%s", payloadPrefix, p.entry.OperationID, p.entry.Revision, part)
	p.objects = append(p.objects, object{name, data})
	return name
}
