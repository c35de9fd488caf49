/** The audit trail, which records changes of the table, of members and of this process. */
@NullMarked
package io.chicorytrestle.core.audit;

import org.jspecify.annotations.NullMarked;
