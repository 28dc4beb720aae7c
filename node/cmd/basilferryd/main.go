// Command basilferryd is the entry node daemon.
package main

func main() {}
