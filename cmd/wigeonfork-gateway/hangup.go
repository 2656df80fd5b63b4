package main

/*
#include <signal.h>

// SIGHUP terminates a process until the Go runtime handles it. The platform may send
// one as soon as the process exists. It can be ignored: the settings are read later.
static void __attribute__((constructor)) ignore_early_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
