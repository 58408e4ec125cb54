// Wasabi is the operators' command: it checks tables, makes keys, shows what
// the instances have in force and explains decisions.
package main

func main() {}
