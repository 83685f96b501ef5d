package experiment

// Workspaces exposes workspaces to the external test package.
var Workspaces = workspaces
