/** Numbered events and the timeline of a VM. */
package org.radishpost.events;
