package org.radishpost.membership;

import org.radishpost.store.VmEntry;

/**
 * One VM as this VM sees it.
 *
 * @param entry what the platform's list said of it last
 * @param alive whether it may be given work: a link to it stands, or the list names it and nothing
 *     speaks against it
 */
public record Member(VmEntry entry, boolean alive) {}
