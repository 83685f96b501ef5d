// Package lentilwind is the root of the coordination library. Its packages only make decisions: none of them opens a socket or
// reads a clock.
package lentilwind
