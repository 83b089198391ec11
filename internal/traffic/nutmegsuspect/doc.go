// Package nutmegsuspect identifies requests under which upstreams crash.
//
// # Usage
//
//	key := nutmegsuspect.ContentKey(call)
package nutmegsuspect
