// Command bench is a program of lentilwind.
package main

func main() {}
