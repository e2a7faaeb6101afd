/**
 * Passes on what the platform's store says, so that few VMs read it and all know it.
 *
 * <p>A VM that reads the store itself serves as a relay; the others follow one of their region.
 */
package org.radishpost.feed;
