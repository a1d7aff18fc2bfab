// Command mangopass is the operators' command.
package main

func main() {}
