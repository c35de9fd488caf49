/**
 * Simulates histories of concurrent requests under injected faults in virtual time, and checks that
 * each history upholds the guarantees of the fleet. Mutations replace single components by faulty
 * ones to verify that the checks detect them.
 */
@NullMarked
package io.chicorytrestle.bench.history;

import org.jspecify.annotations.NullMarked;
