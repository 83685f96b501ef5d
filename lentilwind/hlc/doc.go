// Package hlc has a hybrid logical clock: time stamps that follow wall clocks and never contradict causality.
package hlc
