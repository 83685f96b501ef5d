// Command entry is a program of lentilwind.
package main

func main() {}
