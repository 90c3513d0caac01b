// Command sardined is a program of sardinecross.
package main

func main() {}
