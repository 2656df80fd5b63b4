package template

import (
	"cmp"
	"slices"

	"github.com/wigeonfork/wigeonfork"
)

// Config is the complete configuration at Revision, sorted by name.
type Config struct {
	Revision    wigeonfork.Revision `json:"revision"`
	Templates   []Template          `json:"templates,omitempty"`
	Deployments []Deployment        `json:"deployments,omitempty"`
}

// Template returns the template called name, or nil.
func (c *Config) Template(name Name) *Template {
	i, found := slices.BinarySearchFunc(c.Templates, name, compareTemplate)
	if !found {
		return nil
	}
	return &c.Templates[i]
}

// Deployment returns the deployment called name, or nil.
func (c *Config) Deployment(name DeploymentName) *Deployment {
	i, found := slices.BinarySearchFunc(c.Deployments, name, compareDeployment)
	if !found {
		return nil
	}
	return &c.Deployments[i]
}

func compareTemplate(t Template, name Name) int { return cmp.Compare(t.Name, name) }

func compareDeployment(d Deployment, name DeploymentName) int { return cmp.Compare(d.Name, name) }

// Change lists the templates and deployments to put and to delete. An operator
// or a controller requests it.
type Change struct {
	PutTemplates      []Template       `json:"put_templates,omitempty"`
	DeleteTemplates   []Name           `json:"delete_templates,omitempty"`
	PutDeployments    []Deployment     `json:"put_deployments,omitempty"`
	DeleteDeployments []DeploymentName `json:"delete_deployments,omitempty"`
}

// Apply returns the configuration after change, at the next revision. It does
// not modify c and does not validate change.
func (c *Config) Apply(change Change) Config {
	next := Config{
		Revision:    c.Revision + 1,
		Templates:   slices.Clone(c.Templates),
		Deployments: slices.Clone(c.Deployments),
	}
	for _, name := range change.DeleteTemplates {
		next.Templates = remove(next.Templates, name, compareTemplate)
	}
	for _, t := range change.PutTemplates {
		next.Templates = put(next.Templates, t, t.Name, compareTemplate)
	}
	for _, name := range change.DeleteDeployments {
		next.Deployments = remove(next.Deployments, name, compareDeployment)
	}
	for _, d := range change.PutDeployments {
		next.Deployments = put(next.Deployments, d.sorted(), d.Name, compareDeployment)
	}
	return next
}

func put[E, K any](list []E, element E, key K, compare func(E, K) int) []E {
	i, found := slices.BinarySearchFunc(list, key, compare)
	if found {
		list[i] = element
		return list
	}
	return slices.Insert(list, i, element)
}

func remove[E, K any](list []E, key K, compare func(E, K) int) []E {
	i, found := slices.BinarySearchFunc(list, key, compare)
	if !found {
		return list
	}
	return slices.Delete(list, i, i+1)
}
