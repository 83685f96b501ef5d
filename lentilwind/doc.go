// Package lentilwind is the root of the coordination library; its packages decide, and never open a socket or read a clock.
package lentilwind
