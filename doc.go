// Package wigeonfork holds the identifiers that every other package of the
// library shares: hosts, failure domains, workspaces, backend servers, model
// versions and request classes.
//
// wigeonfork is a serving system for long generations on engines that fail.
// The sub-packages are the parts that another program can embed; the programs
// under cmd only wire them to sockets, a clock and settings.
package wigeonfork
