// Package rosemarylb defines the core types and interfaces of the proxy.
//
// Types are immutable: a With method returns a modified copy and does not
// change its receiver. Interfaces define the behaviour that has more than one
// implementation; the implementations are under internal/. The package does
// not import any codec, socket or message type.
//
// It serves two kinds of fleets. In the first, operators list the endpoints in
// configuration files (ServiceConfig), callers and endpoints speak the PostgreSQL
// protocol, and an Arbiter elects the primaries. In the second, the endpoints
// register themselves in a Directory (Catalog), queries arrive through the ports of
// a platform, and the holder of a lease in the Store has endpoints promoted by a
// Promoter.
package rosemarylb
