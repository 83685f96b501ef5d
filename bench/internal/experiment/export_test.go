package experiment

// Workspaces lets tests look at the offered load.
var Workspaces = workspaces
