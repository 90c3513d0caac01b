// Command sardineload is a program of sardinecross.
package main

func main() {}
