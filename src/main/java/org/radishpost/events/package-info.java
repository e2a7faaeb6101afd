/** Numbered events and the time line of a VM. */
package org.radishpost.events;
