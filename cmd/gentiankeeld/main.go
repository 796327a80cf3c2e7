// Command gentiankeeld is the serving daemon.
package main

func main() {}
