/**
 * Decisions on requests that an entry passes on to backend servers as they are: which route and
 * organisation they belong to, which server gets them, and what follows from each answer.
 */
@NullMarked
package org.cowslipyoke.relay;

import org.jspecify.annotations.NullMarked;
