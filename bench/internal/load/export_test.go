package load

// Classify exposes classify to the external test package.
var Classify = classify
