/** The operators' configuration document: snapshot, sections and versions. */
@NullMarked
package org.cowslipyoke.config;

import org.jspecify.annotations.NullMarked;
