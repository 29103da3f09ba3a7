//! Stand-ins for platform, fabric, upstreams and callers; never linked by the product.
