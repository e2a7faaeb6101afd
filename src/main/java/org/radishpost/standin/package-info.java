/** Stand-ins for the platform and for targets, with faults that can be enabled at run time. */
package org.radishpost.standin;
