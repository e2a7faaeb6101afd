/** The administration API: HTTP and JSON, on an address of its own. */
package org.radishpost.admin;
