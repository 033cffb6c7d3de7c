// Package rosemarylb holds the values and interfaces that every part of the
// proxy shares.
//
// Values are immutable: a With method returns a changed copy and leaves its
// receiver as it was. Interfaces name the behaviour that varies; their
// implementations are found under internal/. The package imports no codec,
// socket or message type.
package rosemarylb
