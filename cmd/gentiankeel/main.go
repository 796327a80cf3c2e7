// Command gentiankeel is the operators' tool.
package main

func main() {}
