package org.radishpost.membership;

import org.radishpost.store.VmEntry;

/**
 * One VM in the view of this VM.
 *
 * @param entry the VM's entry in the platform's list or, if it is not listed, the one authenticated
 *     by a link
 * @param alive whether the VM is expected to handle work: the last link to it did not fail, it
 *     announced no shutdown and no other VM has taken its address
 */
public record Member(VmEntry entry, boolean alive) {}
