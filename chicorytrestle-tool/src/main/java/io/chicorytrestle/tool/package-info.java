/** The operators' command-line tool, which checks files and queries running entry instances. */
@NullMarked
package io.chicorytrestle.tool;

import org.jspecify.annotations.NullMarked;
