// Wasabid is the router's daemon. One process of it runs on each entry
// instance.
package main

func main() {}
