// Package rosemarylb defines the core types and interfaces of the proxy.
//
// Types are immutable: a With method returns a modified copy and does not
// change its receiver. Interfaces define the behaviour that has more than one
// implementation; the implementations are under internal/. The package does
// not import any codec, socket or message type.
package rosemarylb
