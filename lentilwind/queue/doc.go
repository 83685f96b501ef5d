// Package queue orders requests that wait for a scarce resource by priority class, weighted fairness and deadline, and refuses
// early those that would miss their deadline.
package queue
