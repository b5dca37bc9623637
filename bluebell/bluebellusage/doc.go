// Package bluebellusage counts the calls of customers that endpoints began to run, by window of time, and decides
// what is reported of each window.
package bluebellusage
