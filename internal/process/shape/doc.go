// Package shape holds the tests that keep the code base in its shape.
package shape
