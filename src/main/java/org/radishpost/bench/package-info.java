/**
 * An open-loop load driver with reports, and performance models of pools, claims, configuration,
 * links and membership.
 */
package org.radishpost.bench;
