/** Stand-ins for the platform and for targets, with faults that can be switched on. */
package org.radishpost.standin;
