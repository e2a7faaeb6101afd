/** The administration API. */
package org.radishpost.admin;
