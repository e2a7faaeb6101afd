/** Direct routing of calls from the entry VM to a target. */
package org.radishpost.direct;
