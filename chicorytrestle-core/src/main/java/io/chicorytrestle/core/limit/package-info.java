/** Fair queues by workspace with shares, ceilings and bounds, and retry budgets by service. */
@NullMarked
package io.chicorytrestle.core.limit;

import org.jspecify.annotations.NullMarked;
