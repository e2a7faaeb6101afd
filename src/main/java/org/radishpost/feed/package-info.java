/**
 * Distributes the records of the platform's store among VMs, which reduces the load on the store.
 *
 * <p>A relay reads the store itself and forwards the records to its followers. Each follower
 * connects to the nearest relay.
 */
package org.radishpost.feed;
