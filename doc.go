// Package wigeonfork defines the identifiers that all other packages share:
// hosts, failure domains, workspaces, backend servers, model versions and
// request classes.
//
// wigeonfork is a serving system for long generations on engines that can fail.
// Other programs can embed the sub-packages. The programs under cmd only connect
// them to sockets, a clock and settings.
package wigeonfork
