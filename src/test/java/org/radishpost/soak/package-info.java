/**
 * A randomized soak: entry processes on loopback among stand-ins, with faults from outside.
 *
 * <p>{@link org.radishpost.soak.Soak} plays one seed. Its parts are the {@link
 * org.radishpost.soak.Fleet} (processes, store, targets and the links between them), callers, the
 * {@link org.radishpost.soak.Troubles} that a seed draws, and the {@link
 * org.radishpost.soak.Ledger}, which compares what callers saw with what targets ran.
 */
package org.radishpost.soak;
