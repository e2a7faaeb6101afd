/** The administration API: HTTP and JSON on a separate address. */
package org.radishpost.admin;
