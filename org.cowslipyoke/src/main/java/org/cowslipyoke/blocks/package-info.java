/** Keys, seals and placement of KV cache blocks. */
@NullMarked
package org.cowslipyoke.blocks;

import org.jspecify.annotations.NullMarked;
