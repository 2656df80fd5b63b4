package httpinfra

import (
	"context"
	"net/http"
	"net/url"

	"github.com/wigeonfork/wigeonfork/infra"
)

// Objects is an HTTP client of the object store. It implements infra.Objects.
type Objects struct{ *client }

var _ infra.Objects = (*Objects)(nil)

// NewObjects returns an Objects. It connects on the first call.
func NewObjects(options Options) *Objects { return &Objects{newClient(options)} }

// Put implements infra.Objects.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.do(ctx, call{operation: "object put", method: http.MethodPut, path: objectPath(name), body: data})
	return err
}

// Get implements infra.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.do(ctx, call{operation: "object get", method: http.MethodGet, path: objectPath(name)})
}

// List implements infra.Objects.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	var answer ObjectNames
	path := PathObjects + "?" + url.Values{"prefix": {prefix}}.Encode()
	err := o.query(ctx, call{operation: "object list", method: http.MethodGet, path: path}, &answer)
	return answer.Names, err
}

// Delete implements infra.Objects.
func (o *Objects) Delete(ctx context.Context, name string) error {
	_, err := o.do(ctx, call{operation: "object delete", method: http.MethodDelete, path: objectPath(name)})
	return err
}

func objectPath(name string) string { return PathObjects + "/" + url.PathEscape(name) }
