// Command standin is a program of sardinecross.
package main

func main() {}
